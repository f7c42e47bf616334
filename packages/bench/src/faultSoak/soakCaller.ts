/** Sends the requests of the fault soak; the given HTTP agent keeps connections alive between requests. */
import {Agent, request} from 'node:http';
import {forwardHeaders} from '@marigoldfold/entry';

/** Target and content of one request, and the time after which its caller disconnects. */
export interface CallOptions {
  readonly agent: Agent;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly id: string;
  readonly key: string;
  /** Milliseconds after which the caller disconnects; undefined when it waits for the response. */
  readonly disconnectAfterMs: number | undefined;
  /** Called after the caller disconnected. */
  readonly onDisconnected: () => void;
}

/** Result of a request; the status is 0 when the connection ended without a response. */
export interface CallOutcome {
  readonly status: number;
  readonly isComplete: boolean;
  readonly body: string;
  /** Whether the caller disconnected before the end of the response. */
  readonly hasDisconnected: boolean;
}

const DEADLINE_MS = 4000;
/** Longer than the deadline that the request states, so that the router's timeout response arrives first. */
const SOCKET_TIMEOUT_MS = 6000;

/** Sends one request and waits for the end of its response. */
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
    const outgoing = request(
      {host: '127.0.0.1', port, method, path, agent, headers},
      (response) => {
        let body = '';
        response.setEncoding('utf8');
        response.on('data', (part: string) => (body += part));
        response.on('error', () => undefined);
        response.on('close', () => {
          resolve({
            status: response.statusCode ?? 0,
            isComplete: response.complete,
            body,
            hasDisconnected,
          });
        });
      },
    );
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
