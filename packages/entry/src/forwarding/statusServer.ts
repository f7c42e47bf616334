/** HTTP server for readiness checks and metrics. */
import {createServer, type Server} from 'node:http';

/** Creates a server for one path; requests for other paths get 404. */
export function createStatusServer(
  path: string,
  respond: () => Promise<readonly [status: number, body: string]>,
): Server {
  return createServer((request, response) => {
    const result =
      request.url === path ? respond() : Promise.resolve([404, 'no such path'] as const);
    void result.then(([status, body]) => {
      response.writeHead(status, {'content-length': Buffer.byteLength(body)});
      response.end(body);
    });
  });
}
