Feature: Changing the configuration
  Several operators change one text. No change is lost without an error, none is
  applied twice, and an invalid one changes nothing.

  Scenario: Two operators submit texts based on the same version
    Given an active configuration
    And two operators who have read it
    When the first submits a text with burst 300
    And the second submits a text with burst 400
    Then the first submission is accepted
    And the second is refused as a conflict with the current version
    And the burst is 300

  Scenario: Two operators make small edits at the same time
    Given an active configuration
    When one operator drains a VM while another takes a zone out
    Then both changes are in the configuration

  Scenario: The store's answer is lost
    Given an active configuration
    And a store whose next answer to a write is lost
    When an operator grants a key
    Then the operator is notified that it was accepted
    And the key is in the configuration once

  Scenario: An invalid text changes nothing
    Given an active configuration
    When an operator submits a text with a misspelt field
    Then the operator is shown the line and the correct name
    And the configuration is unchanged
