Feature: Zones go out of service and return

  Scenario: A zone goes out and returns while callers work
    Given a deployment with callers at work
    When an operator takes the zone of the primary out
    Then the operator is told that every VM has confirmed it
    And the zone's endpoints get no more work
    When an operator returns the zone
    Then the zone's endpoints serve reads again
    And no caller has seen a failed request

  Scenario: A second zone would leave a group without its majority
    Given a deployment with callers at work
    And a zone that is out
    When an operator takes another zone out
    Then the operator is refused and told which group would fall short
    And no caller has seen a failed request
