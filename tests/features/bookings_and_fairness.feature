Feature: Bookings and fair sharing under load

  Scenario: A hold is booked once although its response is lost
    Given a fleet with a booking service and two entries
    When the counter places hold "h1" through the first entry
    And the first entry is killed before it responds
    And the counter places hold "h1" again through the second entry
    Then the counter gets the response of the first hold
    And the booking service has hold "h1" once

  Scenario: A burst of the guides workspace does not starve the counter
    Given a fleet with one chat engine and two entries
    When the guides workspace sends 60 requests at once
    And the counter sends 5 requests after them
    Then the counter is served before half of the guides
    And every request gets a complete response
