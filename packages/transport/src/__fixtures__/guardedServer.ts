/** A guarded server and raw clients for tests; both are closed after each test. */
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo, connect, type Socket} from 'node:net';
import {steadyClock} from '@marigoldfold/runtime';
import {afterEach} from 'vitest';
import {
  type ClosedConnection,
  ConnectionGuard,
  type ConnectionGuardOptions,
} from '../connectionGuard.js';
import {MemoryBudget} from '../memoryBudget.js';

const servers: Server[] = [];
const sockets: Socket[] = [];

afterEach(() => {
  for (const socket of sockets.splice(0)) socket.destroy();
  for (const server of servers.splice(0)) {
    server.closeAllConnections();
    server.close();
  }
});

export async function start(options: Partial<ConnectionGuardOptions> = {}) {
  const server = createServer({noDelay: true});
  const closed: ClosedConnection[] = [];
  const handled: {request: IncomingMessage; response: ServerResponse}[] = [];
  new ConnectionGuard(server, {
    onRequest: (request, response) => void handled.push({request, response}),
    onClientError: (_error, socket) => {
      socket.end('HTTP/1.1 400 Bad Request\r\nconnection: close\r\n\r\n');
    },
    onConnectionClosed: (connection) => void closed.push(connection),
    ...options,
  });
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  return {port, closed, handled, server};
}

export async function open(port: number) {
  const socket = connect({port, host: '127.0.0.1', noDelay: true});
  sockets.push(socket);
  const client = {socket, received: '', isClosed: false};
  socket.on('data', (chunk: Buffer) => {
    client.received += chunk.toString('latin1');
  });
  socket.on('error', () => undefined);
  socket.on('close', () => {
    client.isClosed = true;
  });
  await new Promise((resolve) => socket.once('connect', resolve));
  return client;
}

export function get(path: string, headers = ''): string {
  return `GET ${path} HTTP/1.1\r\nhost: a\r\n${headers}\r\n`;
}

export async function echo(request: IncomingMessage, response: ServerResponse): Promise<void> {
  let body = '';
  request.setEncoding('latin1');
  for await (const chunk of request) body += chunk as string;
  response.end(`[${request.url ?? ''}:${body}]`);
}

export function echoes(received: string): string[] {
  return [...received.matchAll(/\[([^\]]*)\]/g)].map((match) => match[1] ?? '');
}

export function createBudget(maxBytes = 16_777_216): MemoryBudget {
  return new MemoryBudget({
    clock: steadyClock,
    maxBytes,
    reservedBytes: maxBytes / 4,
    smallBytes: 65_536,
    stalledMs: 5000,
  });
}
