/** Scripts for test endpoints that several tests share. */
import type {Route} from '@marigoldfold/state';
import {
  createRoutingConfiguration,
  type EndpointScript,
  type ForwardRig,
  createRoute,
  type ReceivedRequest,
  createSignedHeaders,
  type TestEndpoint,
} from './forwardRig.js';

/** Responds with a signed success. */
export const respondOk: EndpointScript = (response, {request}) => {
  response.writeHead(200, createSignedHeaders(request)).end('well');
};

/** Closes the connection without a response. */
export const closeWithoutResponse: EndpointScript = (response) => {
  response.destroy();
};

/** Uses the next script for each request, whichever endpoint gets it; the last script serves all later requests. */
export function inSequence(...scripts: readonly EndpointScript[]): EndpointScript {
  let count = 0;
  return (response, received) => {
    const script = scripts[Math.min(count, scripts.length - 1)];
    count += 1;
    return script?.(response, received);
  };
}

/** Starts a router whose endpoints share a script; `received` returns the requests that they received. */
export async function startRouter(
  rig: ForwardRig,
  script: EndpointScript,
  route: Partial<Route> = {},
  endpoints: readonly string[] = ['e1', 'e2'],
): Promise<{readonly received: () => readonly ReceivedRequest[]}> {
  const started: TestEndpoint[] = [];
  for (const id of endpoints) started.push(await rig.addEndpoint(id, script));
  await rig.start(createRoutingConfiguration({routes: [createRoute(route)]}));
  return {received: () => started.flatMap(({received}) => received)};
}

/** Formats events numbered from `from` to `to`, with their numbers as IDs. */
export function events(from: number, to: number): string {
  let text = '';
  for (let number = from; number <= to; number += 1) text += `id: ${number}\ndata: ${number}\n\n`;
  return text;
}
