/** Utilities for all processes: clocks, random numbers, disposal, logs and settings. */
export {type Clock, isAborted, repeat, sleep, steadyClock, systemClock} from './clock.js';
export {contain, containTimers, type DefectReporter, describeError} from './containment.js';
export {VirtualClock, flushPromises} from './virtualClock.js';
export {type Random, seededRandom, systemRandom} from './random.js';
export {EventLoopMonitor, type EventLoopMonitorOptions, nextPoll} from './eventLoopMonitor.js';
export {DisposableStore} from './disposableStore.js';
export {
  type Logger,
  type LogFields,
  type LogLevel,
  type LoggerOptions,
  createLogger,
  logLevels,
  silentLogger,
} from './logger.js';
export {type SettingsProblem, checkDocument, formatProblem, parseSettings} from './settings.js';
export {ProcessSignals, processSignals, type SignalHandlers} from './processSignals.js';
export {BoundedOutput, type BoundedOutputOptions, type WriteBytes} from './boundedOutput.js';
export {createDescriptorWriter} from './descriptorWriter.js';
export {limitHeapGrowth} from './heapGrowth.js';
