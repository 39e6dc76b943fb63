Feature: Changing the configuration
  Operators change one text together. No change is lost without a word, none is
  applied twice, and a bad one changes nothing.

  Scenario: Two operators submit texts based on the same version
    Given a configuration in force
    And two operators who have read it
    When the first submits a text with burst 300
    And the second submits a text with burst 400
    Then the first submission is accepted
    And the second is refused as a conflict with the current version
    And the burst is 300

  Scenario: Two operators make small edits at the same time
    Given a configuration in force
    When one operator drains a VM while another takes a zone out
    Then both changes are in the configuration

  Scenario: The store's answer is lost
    Given a configuration in force
    And a store whose next answer to a write is lost
    When an operator grants a key
    Then the operator is told that it was accepted
    And the key is in the configuration once

  Scenario: A bad text changes nothing
    Given a configuration in force
    When an operator submits a text with a misspelt field
    Then the operator is shown the line and the correct name
    And the configuration is unchanged
