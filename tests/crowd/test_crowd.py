"""Crowds of clients that do not behave, against daemons with low limits.

Each test checks that the processes live, that what they hold stays within their
memory and descriptors, and that ordinary callers are served while the crowd stays
connected and after it has left.
"""

from __future__ import annotations

import crowds
from crowd_site import MAX_BODY_BYTES, MAX_OPEN_FILES, CrowdSite

_FILES_FOR_WAVES = 800
_FILES_FOR_ALL_TASKS = 2000


def check_crowd(directory, open_crowd: crowds.Crowd, max_files: int = MAX_OPEN_FILES):
    site = CrowdSite(directory, max_files)
    crowd, unserved = [], []
    try:
        site.start()
        crowd = open_crowd(site.entry)
        if not site.entry.is_served():
            unserved.append("no ordinary request is served beside the crowd")
        for sock in crowd:
            sock.close()
        if not site.entry.is_served("/orders/1", b"b" * MAX_BODY_BYTES):
            unserved.append("no upload is served after the crowd")
        problems = unserved + site.list_problems()
        peaks = [(round(each.peak_mb), each.peak_descriptors) for each in site.nodes]
    finally:
        for sock in crowd:
            sock.close()
        site.close()
    assert not problems, f"{problems}, peaks in MB and descriptors: {peaks}"


def test_trailer_without_end(tmp_path):
    """Guards against a field that is held until its end, which never comes."""
    check_crowd(tmp_path, crowds.send_endless_trailer)


def test_trailers_without_end(tmp_path):
    """Guards against requests that never end and occupy a task each."""
    check_crowd(tmp_path, crowds.send_many_trailers)


def test_bodies_without_their_last_byte(tmp_path):
    """Guards against bodies that hold more memory than their length, or keep it."""
    check_crowd(tmp_path, crowds.send_waves_of_bodies, _FILES_FOR_WAVES)


def test_chunks_without_their_last_byte(tmp_path):
    """Guards against chunks that hold more memory than their bytes, or keep it."""
    check_crowd(tmp_path, crowds.send_waves_of_chunks, _FILES_FOR_WAVES)


def test_heads_of_many_fields(tmp_path):
    """Guards against fields whose objects take more memory than their bytes."""
    check_crowd(tmp_path, crowds.send_heads, _FILES_FOR_ALL_TASKS)


def test_requests_behind_an_unanswered_one(tmp_path):
    """Guards against requests that are read faster than they are answered."""
    check_crowd(tmp_path, crowds.send_requests_ahead)


def test_bodies_behind_an_unanswered_request(tmp_path):
    """Guards against bodies that count only while they are not whole."""
    check_crowd(tmp_path, crowds.send_bodies_ahead)


def test_large_responses_that_nobody_reads(tmp_path):
    """Guards against responses that count only until they have been received."""
    check_crowd(tmp_path, crowds.leave_responses_unread)


def test_connections_without_a_request(tmp_path):
    """Guards against idle connections that turn ordinary callers away."""
    check_crowd(tmp_path, crowds.open_connections)


def test_more_partial_requests_than_tasks(tmp_path):
    """Guards against requests that occupy a task while they do not arrive."""
    check_crowd(tmp_path, crowds.send_part_of_heads, _FILES_FOR_ALL_TASKS)


def test_pipelines_on_all_connections(tmp_path):
    """Guards against connections that take several descriptors each."""
    check_crowd(tmp_path, crowds.open_pipelines)
