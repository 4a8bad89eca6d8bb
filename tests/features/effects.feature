Feature: Effects of non-idempotent requests

  Background:
    Given a cluster with nodes in the zones "amman-1", "amman-1" and "amman-2"

  Scenario: A booking with the outcome "not-run" has not run
    Given a "booking" target with 1 slot that takes 0.3 s per request
    When 20 bookings are sent at once, each with its own ticket
    Then each booking with outcome "done" ran once and each with "not-run" never ran

  Scenario: A booking that is sent repeatedly takes effect once
    Given a "booking" target with 4 slots that takes 0.1 s per request
    When the same booking is sent to every node at once
    Then it ran once and every response is the same

  Scenario: A booking survives the loss of the streams between nodes
    Given a "booking" target with 4 slots that takes 0.5 s per request
    When the streams between nodes are closed while a booking runs
    Then it ran once and every response is the same
