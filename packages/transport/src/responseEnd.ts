/** Detects responses whose connection is reset, which Node.js reports as complete if they have no length. */
import type {ClientRequest, IncomingMessage} from 'node:http';

/** Calls `onReset` before the end of a response whose connection was reset before the response was complete. */
export function onResponseReset(
  outgoing: ClientRequest,
  onReset: (response: IncomingMessage) => void,
): void {
  let message: IncomingMessage | undefined;
  outgoing.on('response', (response) => {
    message = response;
    // A reset that arrives together with the last bytes is reported as a normal end. The socket then has no remote
    // address.
    const {socket} = response;
    const detectReset = () => {
      if (socket.remoteAddress === undefined && !response.complete) onReset(response);
    };
    socket.prependListener('end', detectReset);
    response.once('close', () => {
      socket.off('end', detectReset);
    });
  });
  outgoing.on('error', () => {
    if (message?.complete === false) onReset(message);
  });
}
