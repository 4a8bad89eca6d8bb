Feature: Effects

  Background:
    Given a desk with nodes in the zones "amman-1", "amman-1" and "amman-2"

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
