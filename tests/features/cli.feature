Feature: cli

  Guards against an operators' command that has an effect despite bad input,
  reports success for a change that is not in force, fails on a lost answer, or
  applies a change twice.

  Scenario Outline: bad input ends with exit code 2, one sentence, and no change
    Given an operators' command with 2 entries
    When the command runs with <arguments>
    Then the command exits with 2 and one sentence like <sentence>
    And the command changed nothing

    Examples:
      | arguments                               | sentence                  |
      | nothing                                 | required                  |
      | unknown                                 | invalid choice            |
      | dc                                      | required                  |
      | dc out                                  | required                  |
      | dc out suva-depot --wait -1 {to}        | outside 0 to              |
      | dc out suva-depot --wait soon {to}      | invalid seconds value     |
      | dc out lautoka {to}                     | no entry knows            |
      | dc out a/b {to}                         | not the name              |
      | dc out suva-depot --key {key}           | no entry is given         |
      | dc out suva-depot --entry http://one    | no key is given           |
      | dc out suva-depot --entry one --key {key} | not the URL             |
      | dc out suva-depot --entry http://one/x --key {key} | not the URL    |
      | dc out suva-depot --entry http://one --key {stranger} | not trusted |
      | dc out suva-depot --entry http://one --key nowhere.pem | cannot be read |
      | dc out suva-depot --settings {bad_settings} | unknown setting       |
      | bundle apply {bad_bundle} {to}          | version: must be at least 1 |
      | bundle apply nowhere.json {to}          | cannot be read            |
      | bundle sign {bad_bundle} --out {new} --key {key} | at least 1       |
      | bundle validate {key}                   | not valid JSON            |
      | bundle diff {bundle} nowhere.json       | cannot be read            |
      | jobs submit {bad_job} {to}              | tasks: must be from 1     |
      | jobs list --limit many {to}             | invalid int value         |
      | keys init {key}                         | File exists               |
      | keys show {bundle}                      | lets others read          |
      | tls issue p --address host --folder {tls} | not an IP number        |
      | check-config entry {bad_settings}       | unknown setting           |

  Scenario Outline: a bundle is applied
    Given an operators' command with 2 entries
    And the entries have the fault <fault>
    When the command runs with bundle apply {bundle} --wait 0.3 {to}
    Then the command exits with <code> and prints <words>
    And the entries saw the change "bundle 2" <times> times

    Examples:
      | fault                  | code | words                          | times |
      | none                   | 0    | bundle version 2: in force     | 1     |
      | an answer that is lost | 0    | bundle version 2: in force     | 1     |
      | an entry that is down  | 0    | bundle version 2: in force     | 1     |
      | lagging agents         | 3    | accepted, not yet in force     | 1     |
      | another bundle 2       | 1    | only 3 may follow              | 0     |
      | the store out          | 1    | store cannot be reached        | 0     |
      | all entries down       | 1    | cannot be reached              | 0     |

  Scenario Outline: a data centre is taken out
    Given an operators' command with 2 entries
    And the entries have the fault <fault>
    When the command runs with dc out suva-depot --wait 0.6 {to}
    Then the command exits with <code> and prints <words>
    And the entries saw the change "suva-depot out" <times> times

    Examples:
      | fault                       | code | words                       | times |
      | none                        | 0    | suva-depot out: in force    | 2     |
      | the store out               | 0    | suva-depot out: in force    | 2     |
      | an answer that is lost      | 0    | suva-depot out: in force    | 2     |
      | an entry that is down       | 0    | suva-depot out: in force    | 1     |
      | an entry that is down twice | 0    | suva-depot out: in force    | 2     |
      | lagging agents              | 3    | accepted, not yet in force  | 2     |
      | another operator's bring-back | 1  | another operator            | 1     |
      | all entries down            | 1    | cannot be reached           | 0     |

  Scenario Outline: a data centre is brought back only through the store
    Given an operators' command with 2 entries
    And the entries have the fault <fault>
    When the command runs with dc in suva-depot --wait 0.3 {to}
    Then the command exits with <code> and prints <words>

    Examples:
      | fault                  | code | words                    |
      | none                   | 0    | suva-depot in: in force  |
      | an answer that is lost | 0    | suva-depot in: in force  |
      | lagging agents         | 3    | not yet in force         |
      | the store out          | 1    | store cannot be reached  |

  Scenario: a rotated key signs and applies without new settings
    Given an operators' command with 2 entries
    When the command runs with keys rotate {key} {new}
    And the command runs with bundle sign {bundle} --out {signed} --key {new}
    And the command runs with bundle apply {signed} --entry http://one --entry http://two --wait 1 --key {new}
    Then the command exits with 0 and prints bundle version 2: in force

  Scenario Outline: a command prints what was asked for
    Given an operators' command with 2 entries
    When the command runs with <arguments>
    Then the command exits with 0 and prints <words>

    Examples:
      | arguments                      | words                     |
      | status {to}                    | version 1                 |
      | status --json {to}             | "entry": "http://one"     |
      | dc status {to}                 | suva-depot    0    in     |
      | bundle status {to}             | http://two  1        yes  |
      | bundle validate {bundle}       | valid                     |
      | bundle diff {bundle} {bundle}  | no differences            |
      | hosts {to}                     | suva-01  16     yes    a?[2Jb |
      | hosts --json {to}              | "cores": 16.0             |
      | backends {to}                  | none                      |
      | explain --job j1 {to}          | job j1                    |
      | debug {to}                     | "name": "two"             |
      | jobs submit {job} {to}         | j1                        |
      | jobs list {to}                 | none                      |
      | keys show {key}                | key id                    |
      | tls init --folder {tls}2       | wrote                     |
      | check-config entry examples/suva/entry-1.json | valid      |

  Scenario: the operators' command does not load the bench package at its start
    When a fresh interpreter builds the parser with the load commands
    Then no module of the bench package is loaded in the fresh interpreter

  Scenario Outline: the operators' command runs where the bench package cannot be imported
    When the operators' command runs without the bench package with <arguments>
    Then the command without the bench package exits with <code> and prints only <words>

    Examples:
      | arguments                               | code | words                                             |
      | check-config entry examples/suva/entry-1.json | 0 | valid                                          |
      | load                                    | 2    | 'load' needs the package apricotpath-bench: it is not installed |
      | load --help                             | 2    | 'load' needs the package apricotpath-bench: it is not installed |
      | load compare --shape small              | 2    | 'load' needs the package apricotpath-bench: it is not installed |
      | trace record out --shape suva --seed 1  | 2    | 'trace' needs the package apricotpath-bench: it is not installed |
      | trace replay nowhere.trace              | 2    | 'trace' needs the package apricotpath-bench: it is not installed |

  Scenario: no module of the operators' command imports the bench package
    When the imports of the operators' command are collected
    Then the operators' command imports no module of the bench package

  Scenario Outline: a plugin that cannot be used leaves the other groups of the operators' command
    When the operators' command runs beside a plugin that <fault> with <arguments>
    Then the command without the bench package exits with <code> and prints only <words>

    Examples:
      | fault                  | arguments                                     | code | words                    |
      | imports what is absent | check-config entry examples/suva/entry-1.json | 0    | valid                    |
      | imports what is absent | load compare                                  | 2    | 'load' needs the package apricotpath-bench: the plugin apricotpath_plugins.load cannot be loaded: No module named 'absent' |
      | adds no group          | check-config entry examples/suva/entry-1.json | 0    | valid                    |
      | adds no group          | load compare                                  | 2    | 'load' needs the package apricotpath-bench: the plugin apricotpath_plugins.load has no function add_group |
