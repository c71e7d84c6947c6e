Feature: The counter in the Saturday rush

  Scenario: A deposit hold lands once although its answer is lost
    Given a fleet with a booking service and two entries
    When the counter places hold "h1" through the first entry
    And the first entry is killed before it answers
    And the counter places hold "h1" again through the second entry
    Then the counter gets the answer of the first hold
    And the booking service has hold "h1" once

  Scenario: A flood of guides does not shut the counter out
    Given a fleet with one chat engine and two entries
    When the guides workspace sends 60 requests at once
    And the counter sends 5 requests after them
    Then the counter is served before half of the guides
    And every request is answered whole
