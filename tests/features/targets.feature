Feature: Targets get only the work that they are allowed to get

  Scenario: A target that turns cold without notice is not overloaded
    Given 2 engines with a cold concurrency of 2
    When 12 callers send prompts continuously
    And an engine turns cold without notice
    Then no cold engine exceeded its cold concurrency
    And the answers are correct and later prompts are answered

  Scenario: A drained failure domain gets no new work while an entry is paused
    Given 3 engines and 2 entries
    When callers send prompts continuously
    And the second entry is paused while a failure domain is drained
    And the second entry resumes after 4 s
    Then no work starts in the drained domain after 3 s
    And the domain gets work again once it is restored

  Scenario: A request that crashes engines is quarantined
    Given 4 engines that crash on a marked prompt
    When the marked prompt is sent 6 times through 2 entries
    Then at most 2 engines crashed
    And the last refusals say "quarantined"
    And other prompts are answered

  Scenario: A quarantine survives a restart of the agents
    Given 4 engines that crash on a marked prompt
    When the marked prompt is sent 4 times through 2 entries
    And every agent is killed and restarted
    And the marked prompt is sent 2 times through 2 entries
    Then at most 2 engines crashed

  Scenario: Damaged and partial blocks are never read
    Given 1 engines with a small cache and a store VM
    When the store VM truncates some writes and alters some reads
    And manifests are sent again after their eviction
    Then every manifest got its own answer
    And no engine read a damaged block
    And some blocks were imported from the store VM

  Scenario: An engine stalls before the first token
    Given 2 engines and 1 entries
    When every engine but one stalls after it has made an offer
    Then prompts are answered by the other engine

  Scenario: All agents are paused briefly
    Given 2 engines and 1 entries
    When all agents are paused for less than a second
    Then a prompt sent during the pause is answered

  Scenario: A prompt waits for its only agent that has just started
    Given 1 engines and 1 entries
    When the agent restarts while the key-value service is paused
    Then a prompt sent during the pause is answered
