Feature: Operators race and resend
  An accepted configuration change is applied exactly once, whatever operators do at the same time.

  Scenario: Of several operators who saw the same revision exactly one wins
    Given the current revision is 3
    When 5 operators each expect revision 3 and set a different power cap
    Then exactly 1 of the changes is accepted
    And the current revision is now 4

  Scenario: A resend after the answer went missing gets the first answer
    Given the current revision is 3
    And operation "raise-cap" set the power cap to 900 watts from revision 3
    When operation "raise-cap" is sent again with the same content
    Then the answer is revision 4
    And the current revision is now 4

  Scenario: A resend after a failover gets the first answer
    Given the current revision is 3
    And operation "raise-cap" set the power cap to 900 watts from revision 3
    When another member takes over by replaying the log
    And operation "raise-cap" is sent again with the same content
    Then the answer is revision 4
    And the current revision is now 4

  Scenario: A resend after a snapshot gets the first answer
    Given the current revision is 3
    And operation "raise-cap" set the power cap to 900 watts from revision 3
    When another member takes over from a snapshot
    And operation "raise-cap" is sent again with the same content
    Then the answer is revision 4
    And the current revision is now 4

  Scenario: An operation id with other content is refused
    Given the current revision is 3
    And operation "raise-cap" set the power cap to 900 watts from revision 3
    When operation "raise-cap" is sent again to set the power cap to 1 watt
    Then the answer is refused with "operation-reused"
    And the power cap is 900 watts

  Scenario: A change that is inconsistent as a whole changes nothing
    Given the current revision is 3
    When an operator puts a service that names profile "missing"
    Then the answer is refused with "invalid-configuration"
    And the current revision is now 3
