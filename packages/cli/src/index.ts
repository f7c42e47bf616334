/** The operators' commands and the local system for development and tests. */
export {type DecisionRequest, replayToHead, signNextDecision} from './monitorDecision.js';
export {
  type LocalKeys,
  type LocalSystem,
  type LocalSystemOptions,
  startLocalSystem,
} from './localSystem.js';
export {type OperatorClient, createOperatorClient} from './operatorClient.js';
export {formatSettingsReference} from './settingsReference.js';
export {formatTable} from './table.js';
export {commands as operatorCommands} from './commands/index.js';
