Feature: Replicated state survives
  What was acknowledged is never lost, and no member answers a stale read, whatever happens to disks and network.

  Background:
    Given a group of 3 members
    And 50 commands are acknowledged

  Scenario: A member with an empty disk does not vote
    Given member 2 is cut off
    And 20 commands are acknowledged
    When member 1 loses its disk
    And member 0 crashes
    And the network is healed
    And member 1 starts
    And 10 seconds pass
    Then no member leads
    When member 0 starts
    Then the group settles and nothing acknowledged is lost

  Scenario: A second disk is lost just after a repair
    When member 1 loses its disk
    And member 1 starts
    Then the group settles and nothing acknowledged is lost
    When member 0 loses its disk
    And member 0 starts
    Then the group settles and nothing acknowledged is lost

  Scenario: A member is cut off for long and comes back
    Given member 2 is cut off
    And 200 commands are acknowledged
    And 600 seconds pass
    When the network is healed
    Then the group settles and nothing acknowledged is lost
    And the term and the leader are as before

  Scenario: A leader that is cut off answers no stale read
    Given member 0 is cut off
    When a read is asked of member 0
    And 5 seconds pass
    And 20 commands are acknowledged
    Then the read has failed
    When the network is healed
    Then the group settles and nothing acknowledged is lost

  Scenario: A damaged record is refused and repaired from the others
    When member 1 crashes
    And a record in the middle of the log of member 1 is damaged
    Then member 1 refuses to start because its log is corrupt
    When member 1 loses its disk
    And member 1 starts
    Then the group settles and nothing acknowledged is lost

  Scenario: A full disk stops the member and the others go on
    When the disk of member 1 is full
    And 20 commands are acknowledged
    Then member 1 has stopped
    When member 1 loses its disk
    And member 1 starts
    Then the group settles and nothing acknowledged is lost

  Scenario: A leader whose disk hangs goes on through the disks of the others
    When the disk of member 0 hangs for 5 seconds
    And 20 commands are acknowledged
    And 3 seconds pass
    Then the term and the leader are as before
    When 4 seconds pass
    Then the group settles and nothing acknowledged is lost

  Scenario: A leader whose disk is full goes on and writes when it has room again
    When the disk of member 0 has no room
    And 20 commands are acknowledged
    And 3 seconds pass
    Then the term and the leader are as before
    When the disk of member 0 has room again
    And 1 seconds pass
    Then the group settles and nothing acknowledged is lost

  Scenario: Nothing is acknowledged while the disks of a majority are full
    When the disk of member 1 has no room
    And the disk of member 2 has no room
    And 500 milliseconds pass
    Then a command that is proposed gets no result within 5 seconds
    When the disk of member 1 has room again
    And the disk of member 2 has room again
    And 5 seconds pass
    Then the group settles and nothing acknowledged is lost

  Scenario: A member whose disk stays full stops
    When the disk of member 1 has no room
    And 20 commands are acknowledged
    And 40 seconds pass
    Then member 1 has stopped
    When the disk of member 1 has room again
    And member 1 starts
    Then the group settles and nothing acknowledged is lost

  Scenario: A leader hands over before a planned stop
    When member 0 hands its leadership over
    And 300 milliseconds pass
    Then another member than 0 leads
    And the group settles and nothing acknowledged is lost

  Scenario: A member that is added gets its vote once it has caught up
    Given member 3 is cut off
    When member 3 is added
    And 5 seconds pass
    Then member 3 has no vote
    When the network is healed
    Then the group settles and nothing acknowledged is lost
    And member 3 has a vote

  Scenario: Every member crashes at once
    When every member crashes
    And every member starts
    Then the group settles and nothing acknowledged is lost
