Feature: Public status page
  A reader sees every hour of every service, or why an hour is not known.

  Scenario: A service that works
    Given a fleet that serves ledger
    When 2 hours pass
    Then the page says "operational" for ledger
    And the page has no banner

  Scenario: A service that fails
    Given a fleet that serves ledger
    When 2 hours pass with failed calls
    Then the page says "outage" for ledger

  Scenario: A dependency that fails
    Given a fleet that serves shop>ledger and ledger
    When 2 hours pass with failed calls
    Then the page says "outage" for shop
    And the page says "a dependency" for shop

  Scenario: Hours in which no VM ran
    Given a fleet that serves ledger
    When 2 hours pass
    And 3 hours pass without any VM
    And 1 hours pass
    Then the page says "no VM reported" for ledger
    And the page says "not observed" for ledger
    And the page has no banner

  Scenario: A renamed service
    Given a fleet that serves ledger
    When 2 hours pass
    And the services become books
    And 2 hours pass
    Then the page says "no longer listed" for ledger
    And the page says "operational" for books

  Scenario: The store cannot be read
    Given a fleet that serves ledger
    When 2 hours pass
    And the store goes down
    Then the page begins with "The history is not established."

  Scenario: An hour is missing in the store
    Given a fleet that serves ledger
    When 3 hours pass
    And the record of an hour is lost
    Then the page begins with "The history is not established."
    And the page says "history not established" for ledger
