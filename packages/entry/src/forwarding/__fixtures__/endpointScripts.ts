/** Ready-made behaviour of endpoints. */
import type {Route} from '@marigoldfold/state';
import {
  configurationOf,
  type EndpointScript,
  type ForwardRig,
  routeOf,
  type ReceivedRequest,
  signedHeaders,
  type TestEndpoint,
} from './forwardRig.js';

/** Answers with success. */
export const respondOk: EndpointScript = (response, {request}) => {
  response.writeHead(200, signedHeaders(request)).end('well');
};

/** Closes the connection without an answer. */
export const closeWithoutResponse: EndpointScript = (response) => {
  response.destroy();
};

/** Answers differently by the number of the request over all endpoints. */
export function inSequence(...scripts: readonly EndpointScript[]): EndpointScript {
  let count = 0;
  return (response, received) => {
    const script = scripts[Math.min(count, scripts.length - 1)];
    count += 1;
    return script?.(response, received);
  };
}

/** Starts a router with endpoints that share a script; `seen` gathers what all of them saw. */
export async function startRouter(
  rig: ForwardRig,
  script: EndpointScript,
  route: Partial<Route> = {},
  endpoints: readonly string[] = ['e1', 'e2'],
): Promise<{readonly received: () => readonly ReceivedRequest[]}> {
  const started: TestEndpoint[] = [];
  for (const id of endpoints) started.push(await rig.addEndpoint(id, script));
  await rig.start(configurationOf({routes: [routeOf(route)]}));
  return {received: () => started.flatMap(({received}) => received)};
}

/** Writes events with their numbers as ids. */
export function events(from: number, to: number): string {
  let text = '';
  for (let number = from; number <= to; number += 1) text += `id: ${number}\ndata: ${number}\n\n`;
  return text;
}
