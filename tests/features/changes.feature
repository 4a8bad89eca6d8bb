Feature: Departures and the document

  Background:
    Given a desk with nodes in the zones "amman-1", "amman-1" and "amman-2"

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
