/** Ready-made behaviour of endpoints. */
import type {Route} from '@marigoldfold/state';
import {
  configurationOf,
  type EndpointScript,
  type ForwardRig,
  routeOf,
  type SeenRequest,
  signed,
  type TestEndpoint,
} from './forwardRig.js';

/** Answers with success. */
export const answerWell: EndpointScript = (response, {request}) => {
  response.writeHead(200, signed(request)).end('well');
};

/** Closes the connection without an answer. */
export const closeUnanswered: EndpointScript = (response) => {
  response.destroy();
};

/** Answers differently by the number of the request over all endpoints. */
export function inTurn(...scripts: readonly EndpointScript[]): EndpointScript {
  let count = 0;
  return (response, seen) => {
    const script = scripts[Math.min(count, scripts.length - 1)];
    count += 1;
    return script?.(response, seen);
  };
}

/** Starts a router with endpoints that share a script; `seen` gathers what all of them saw. */
export async function startWith(
  rig: ForwardRig,
  script: EndpointScript,
  route: Partial<Route> = {},
  endpoints: readonly string[] = ['e1', 'e2'],
): Promise<{readonly seen: () => readonly SeenRequest[]}> {
  const started: TestEndpoint[] = [];
  for (const id of endpoints) started.push(await rig.addEndpoint(id, script));
  await rig.start(configurationOf({routes: [routeOf(route)]}));
  return {seen: () => started.flatMap(({seen}) => seen)};
}

/** Writes events with their numbers as ids. */
export function events(from: number, to: number): string {
  let text = '';
  for (let number = from; number <= to; number += 1) text += `id: ${number}\ndata: ${number}\n\n`;
  return text;
}
