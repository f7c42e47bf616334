/** Looks at the loads that agents report on their answers. */
import type {Load, WorkEvent} from '@marigoldfold/protocol';
import type {Result} from 'neverthrow';
import type {AgentLink, StartError, WorkEvents} from './agentLink.js';

/** A link that shows each load to an observer on its way. */
export function noticeLoads(link: AgentLink, onLoad: (load: Load) => void): AgentLink {
  const observe = (started: Result<WorkEvents, StartError>): Result<WorkEvents, StartError> => {
    if (started.isErr() && started.error.kind === 'refused') onLoad(started.error.load);
    return started.map((events) => observeEvents(events, onLoad));
  };
  return {
    ...link,
    start: async (work, signal) => observe(await link.start(work, signal)),
    resume: async (id, afterChunk, signal) => observe(await link.resume(id, afterChunk, signal)),
    async probe() {
      const load = await link.probe();
      if (load.isOk()) onLoad(load.value);
      return load;
    },
  };
}

async function* observeEvents(
  events: WorkEvents,
  onLoad: (load: Load) => void,
): AsyncGenerator<WorkEvent, void> {
  for await (const event of events) {
    if ('load' in event) onLoad(event.load);
    yield event;
  }
}
