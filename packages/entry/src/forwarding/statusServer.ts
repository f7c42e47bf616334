/** HTTP server for readiness checks and metrics. */
import {createServer, type Server} from 'node:http';
import {keepAllLines} from '@marigoldfold/transport';

const NOT_FOUND = 404;
const INTERNAL_ERROR = 500;

type StatusResponse = readonly [status: number, body: string];

/** Creates a server for one path; requests for other paths get 404, and a failure is passed to `onError`. */
export function createStatusServer(
  path: string,
  respond: () => Promise<StatusResponse>,
  onError: (error: unknown) => void,
): Server {
  const respondTo = async (url: string | undefined): Promise<StatusResponse> => {
    if (url !== path) return [NOT_FOUND, 'no such path'];
    try {
      return await respond();
    } catch (error) {
      onError(error);
      return [INTERNAL_ERROR, 'unexpected exception'];
    }
  };
  const server = createServer((request, response) => {
    void respondTo(request.url).then(([status, body]) => {
      response.writeHead(status, {'content-length': Buffer.byteLength(body)});
      response.end(body);
    });
  });
  keepAllLines(server);
  return server;
}
