/** HTTP clients and servers, server-sent events, and JSON-RPC between processes. */
export {isClientDisconnected, onClientDisconnect} from './clientDisconnect.js';
export {isListening} from './portCheck.js';
export {listenPersistently, type PersistentListenOptions} from './persistentListener.js';
export {type BodyFault, readWholeBody, type TransferLimits} from './wholeBody.js';
export {type ClusterKey, createClusterKey} from './clusterKey.js';
export {
  type OutgoingEvent,
  type StreamEvent,
  formatEvent,
  openEventStream,
  readEvents,
} from './eventStream.js';
export {
  type ClientResponse,
  type ClientRequest,
  type ConnectionError,
  type HttpClient,
  type BufferedResponse,
  createHttpClient,
  splitAddress,
} from './httpClient.js';
export {sendBareClientError} from './clientError.js';
export {
  type ClosedConnection,
  ConnectionGuard,
  type ConnectionGuardOptions,
} from './connectionGuard.js';
export {
  type HttpServer,
  type HttpServerOptions,
  type ListenError,
  type ServerLimits,
  waitForDrain,
  listen,
  sendJson,
  serverLimitsSchema,
} from './httpServer.js';
export {
  type BodyError,
  type BodyLimits,
  type BodyMemory,
  type HeldBody,
  readBody,
  readHeldBody,
  readPinnedBody,
} from './requestBody.js';
export {endAfterRequest} from './earlyResponse.js';
export {type BufferShare, openResponseShare} from './responseShare.js';
export {
  type CallError,
  type ControlServer,
  RpcMethods,
  type Peer,
  createControlServer,
  createPeer,
} from './rpc.js';
export {
  type EndpointResponse,
  type EndpointClient,
  type EndpointRequest,
  type SendOutcome,
  createEndpointClient,
} from './endpointClient.js';
export {
  type Eviction,
  type EvictionRule,
  type HolderKind,
  type HolderOptions,
  type MemoryBudgetOptions,
  type MemoryHolder,
  budgetOptions,
  holderKinds,
  MemoryBudget,
} from './memoryBudget.js';
export type {ResponseHead} from './responseHead.js';
export {HeaderLines} from './headerLines.js';
export {CompactRequest, compactRequestClass} from './compactRequest.js';
export {joinHead, keepAllLines} from './headMemory.js';
export {EventBoundary, EventSplitter, type RawEvent} from './eventSplitter.js';
