/** A caller of the soak: it keeps its connection for as long as that works. */
import {Agent, request} from 'node:http';
import {forwardHeaders} from '@marigoldfold/entry';

/** What one request is. */
export interface CallOptions {
  readonly agent: Agent;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly id: string;
  readonly key: string;
  /** Milliseconds after which the caller leaves; undefined for one that stays. */
  readonly disconnectAfterMs: number | undefined;
  /** Called when it has left. */
  readonly onDisconnected: () => void;
}

/** What came of it. */
export interface CallOutcome {
  readonly status: number;
  readonly isComplete: boolean;
  readonly body: string;
  /** Whether the caller left before the end. */
  readonly hasDisconnected: boolean;
}

const DEADLINE_MS = 4000;
/** Callers give a request up only some time after its deadline. */
const SOCKET_TIMEOUT_MS = 6000;

/** Sends one request and waits for the end of its answer. */
export function call({
  agent,
  port,
  method,
  path,
  id,
  key,
  disconnectAfterMs,
  onDisconnected,
}: CallOptions): Promise<CallOutcome> {
  return new Promise((resolve) => {
    let hasDisconnected = false;
    const headers = {
      host: 'soak.example',
      [forwardHeaders.requestId]: id,
      [forwardHeaders.key]: key,
      [forwardHeaders.deadline]: String(DEADLINE_MS),
    };
    const outgoing = request({host: '127.0.0.1', port, method, path, agent, headers}, (answer) => {
      let body = '';
      answer.setEncoding('utf8');
      answer.on('data', (part: string) => (body += part));
      answer.on('error', () => undefined);
      answer.on('close', () => {
        resolve({
          status: answer.statusCode ?? 0,
          isComplete: answer.complete,
          body,
          hasDisconnected,
        });
      });
    });
    outgoing.setTimeout(SOCKET_TIMEOUT_MS, () => outgoing.destroy());
    outgoing.on('error', () => {
      resolve({status: 0, isComplete: false, body: '', hasDisconnected});
    });
    outgoing.end(method === 'POST' ? id : undefined);
    if (disconnectAfterMs === undefined) return;
    setTimeout(() => {
      if (outgoing.closed) return;
      hasDisconnected = true;
      outgoing.destroy();
      onDisconnected();
    }, disconnectAfterMs);
  });
}
