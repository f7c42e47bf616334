/** Stand-ins for the platform services and the endpoints, for tests, benchmarks and local use. */
export {createAnswerText, serveEngine} from './engineServer.js';
export {
  type FaultyKeyValueOptions,
  type StoreCall,
  type StoreFault,
  createFaultyKeyValue,
} from './faultyKeyValue.js';
export {LaggingInstanceList, serveInstanceList, toTargetGroups} from './instanceListServer.js';
export {SwitchableKeyValue} from './switchableKeyValue.js';
export {serveKeyValue} from './keyValueServer.js';
export {Ledger, type LedgerFault, type Posting, serveLedger} from './ledgerService.js';
export {type KeyValueCopy, MemoryKeyValue} from './memoryKeyValue.js';
export {
  type EngineFault,
  type EngineRequest,
  type EngineSpeed,
  SimulatedEngine,
  type Token,
} from './simulatedEngine.js';
export {
  type KeyValueStandIn,
  type StandIn,
  batchingSpeed,
  startEngine,
  startInstanceList,
  startKeyValue,
  startLedger,
} from './startStandIns.js';
export {type CachedPart, PromptCache} from './promptCache.js';
export {
  type EngineJob,
  type EngineStepCosts,
  type StreamEventListener,
  ChunkedPrefillEngine,
  type ChunkedPrefillEngineOptions,
} from './chunkedPrefillEngine.js';
