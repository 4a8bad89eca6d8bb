Feature: Calls

  Background:
    Given a cluster with nodes in the zones "amman-1", "amman-1" and "amman-2"

  Scenario: Attempts stay within a fixed bound along a deep call chain
    Given a chain of four services whose last target fails every request
    When a caller sends one request to the first service
    Then no service runs the request more often than its extra attempts allow

  Scenario: The most important requests are the last to be rejected
    Given a "tracking" target with 1 slot that takes 0.2 s per request
    When 6 critical and 30 low-importance requests are sent at once
    Then every critical request succeeds and some low-importance request is rejected

  Scenario: Every caller receives its own complete response
    Given a "stock" target with 8 slots that takes 0 s per request
    When 8 callers each send 20 requests with unique paths
    Then each request receives the response for its own path

  Scenario: A truncated response is an error
    Given a "stock" target that truncates its responses
    When a caller sends it a request through every node
    Then every response is an error without any part of the truncated body

  Scenario: A caller that disconnects frees its slot
    Given a "stock" target with 1 slot that takes 5 s per request
    When a caller disconnects while its request runs
    Then the slot is free at once

  Scenario: A call that cannot finish in time ends at its deadline
    Given a "stock" target with 1 slot that takes 5 s per request
    And a deadline of 300 ms for "stock"
    When a caller sends a request for "stock" to node 2
    Then the response has the reason "deadline"
    And the slot is free at once

  Scenario: Several large uploads complete in bounded memory
    Given a "vault" target with 4 slots that takes 0 s per request
    When 4 uploads of 8 MB are sent at once
    Then all of them arrive complete

  Scenario Outline: An abandoned large response frees its slot
    Given a "vault" target with 2 slots that takes 0 s per request
    When a caller at node <entry> disconnects midway through a large response
    Then the slot is free at once

    Examples:
      | entry |
      | 0     |
      | 2     |
