Feature: What must always hold

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

  Scenario: What was told "not run" truly was not run
    Given a "booking" target with 1 slot that takes 0.3 s
    When 20 bookings are sent at once, each with its own ticket
    Then each booking told "done" ran once and each told "not-run" never ran

  Scenario: A booking sent again takes effect once
    Given a "booking" target with 4 slots that takes 0.1 s
    When the same booking is sent at every node at once
    Then it ran once and every answer is the same

  Scenario: A booking outlives a connection that goes silent
    Given a "booking" target with 4 slots that takes 0.5 s
    When the streams between nodes are cut while a booking runs
    Then it ran once and every answer is the same

  Scenario: A leaving target gets no new work
    Given two "stock" targets
    When the first announces that it is leaving
    Then it gets no new work and every request is served by the second

  Scenario: A target that the document marks as leaving gets no new work
    Given two "stock" targets
    When the document marks the first as leaving
    Then it gets no new work and every request is served by the second

  Scenario: A graceful shutdown cuts off nothing in flight
    Given a "stock" target with 8 slots that takes 0.5 s
    When its node is shut down while 6 requests are in flight
    Then all 6 are answered whole

  Scenario: An accepted section is in force in every zone and stays
    When the section of a team is accepted, then an older copy is heard again
    Then the newer version is in force at every node

  Scenario: A node that starts during an outage takes the sections from peers
    Given a section that is accepted and in force
    When the platform goes down and another node starts
    Then the new node holds the section and serves

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
