Feature: Targets get only the work that they may get

  Scenario: A target that turns cold unannounced is not overloaded
    Given 2 engines that bear 2 requests while cold
    When 12 callers send prompts without pause
    And an engine turns cold without notice
    Then no cold engine got more than it bears
    And every prompt is answered in the end

  Scenario: A drained failure domain gets no new work, one entry paused
    Given 3 engines and 2 entries
    When callers send prompts without pause
    And the second entry is paused while a failure domain is drained
    And the second entry wakes after 4 s
    Then no work starts in the drained domain after 3 s
    And the domain works again once it is restored

  Scenario: A request that crashes engines is quarantined
    Given 4 engines that crash on a marked prompt
    When the marked prompt is sent 6 times through 2 entries
    Then at most 2 engines crashed
    And the last refusals say "quarantined"
    And other prompts are answered

  Scenario: A quarantine outlives the processes
    Given 4 engines that crash on a marked prompt
    When the marked prompt is sent 4 times through 2 entries
    And every agent is killed and started again
    And the marked prompt is sent 2 times through 2 entries
    Then at most 2 engines crashed

  Scenario: Damaged and partial blocks are never read
    Given 1 engines with a small cache and a store VM
    When the store VM cuts some writes and alters some reads
    And manifests return after their eviction
    Then every manifest got its own answer
    And no engine read a damaged block
    And some blocks came from the store

  Scenario: A first token stalls
    Given 2 engines and 1 entries
    When every engine but one stalls after it has made an offer
    Then a prompt is answered by the other engine

  Scenario: No agent answers for a moment
    Given 2 engines and 1 entries
    When all agents are paused for less than a second
    Then a prompt sent meanwhile is answered
