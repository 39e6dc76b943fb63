Feature: Zones are taken out of service and put back

  Scenario: A zone is taken out and put back while callers send requests
    Given a deployment with callers that send requests
    When an operator takes the zone of the primary out
    Then the operator is notified that every VM has confirmed it
    And the zone's endpoints get no more work
    When an operator puts the zone back
    Then the zone's endpoints serve reads again
    And no request of a caller has failed

  Scenario: Taking out a second zone would leave a group without its majority
    Given a deployment with callers that send requests
    And a zone that is out
    When an operator takes another zone out
    Then the change is refused with the group that would lose its majority
    And no request of a caller has failed
