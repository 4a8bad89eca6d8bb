Feature: Calls

  Background:
    Given a desk with nodes in the zones "amman-1", "amman-1" and "amman-2"

  Scenario: Retries stay within a fixed bound over a deep chain
    Given a chain of four services whose last target fails every request
    When a foreman asks the first service once
    Then no service ran the request more often than its allowance permits

  Scenario: The most important requests are the last to be refused
    Given a "tracking" target with 1 slot that takes 0.2 s
    When 6 crane crews and 30 foremen ask at once
    Then every crane crew is served before any refused foreman

  Scenario: Every caller receives its own whole answer
    Given a "stock" target with 8 slots that takes 0 s
    When 8 callers each ask 20 times with their own words
    Then each gets back exactly its own words

  Scenario: An answer that breaks off is an error
    Given a "stock" target that breaks its answers off
    When a foreman asks it
    Then the answer is an error and no part of it is passed off as whole

  Scenario: A caller that goes away frees its slot
    Given a "stock" target with 1 slot that takes 5 s
    When a caller leaves while its request runs
    Then the slot is free at once

  Scenario: A call that cannot finish in time is ended at its deadline
    Given a "stock" target with 1 slot that takes 5 s
    And a deadline of 300 ms for "stock"
    When a foreman asks "stock" at node 2
    Then the answer is "deadline"
    And the slot is free at once

  Scenario: Several large uploads go through in bounded memory
    Given a "vault" target with 4 slots that takes 0 s
    When 4 uploads of 8 MB are sent at once
    Then all of them arrive whole

  Scenario Outline: A large answer that nobody reads on frees its slot
    Given a "vault" target with 2 slots that takes 0 s
    When a caller at node <entry> gives up a large answer half-way
    Then the slot is free at once

    Examples:
      | entry |
      | 0     |
      | 2     |
