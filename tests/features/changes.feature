Feature: Leaving targets, shutdowns and policy updates

  Background:
    Given a cluster with nodes in the zones "amman-1", "amman-1" and "amman-2"

  Scenario: A leaving target receives no new requests
    Given two "stock" targets
    When the first target is announced as leaving
    Then it receives no new requests and the second target serves every request

  Scenario: A target marked as leaving in the policy receives no new requests
    Given two "stock" targets
    When the policy document marks the first target as leaving
    Then it receives no new requests and the second target serves every request

  Scenario: A graceful shutdown completes the requests in flight
    Given a "stock" target with 8 slots that takes 0.5 s per request
    When its node is shut down while 6 requests are in flight
    Then all 6 receive complete responses

  Scenario: An accepted section is in force in every zone and stays in force
    When a new version of a section is accepted and older versions arrive again
    Then the newer version is in force at every node

  Scenario: A node that starts during a platform outage loads sections from peers
    Given a section that is accepted and in force
    When the platform is down and another node starts
    Then the new node has the section in force and serves requests
