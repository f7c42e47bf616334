import {EventEmitter} from 'node:events';
import {type LogFields, flushPromises, silentLogger} from '@marigoldfold/runtime';
import {expect, it} from 'vitest';
import {drainOnSignal} from '../processCommand.js';

it('a second signal does not interrupt requests and logs their number', async () => {
  const signals = new EventEmitter();
  const warnings: (LogFields | undefined)[] = [];
  const logger = {
    ...silentLogger,
    warn: (_message: string, fields?: LogFields) => {
      warnings.push(fields);
    },
  };
  let drains = 0;
  let finish: () => void = () => undefined;
  const drain = () => {
    drains += 1;
    return new Promise<void>((resolve) => {
      finish = resolve;
    });
  };
  let isDone = false;
  void drainOnSignal(drain, logger, () => 3, signals).then(() => {
    isDone = true;
  });
  signals.emit('SIGTERM', 'SIGTERM');
  signals.emit('SIGTERM', 'SIGTERM');
  signals.emit('SIGINT', 'SIGINT');
  await flushPromises();
  expect(drains).toBe(1);
  expect(isDone).toBe(false);
  expect(warnings).toEqual([
    {signal: 'SIGTERM', wouldBeCut: 3},
    {signal: 'SIGINT', wouldBeCut: 3},
  ]);
  finish();
  await flushPromises();
  expect(isDone).toBe(true);
  expect(signals.listenerCount('SIGTERM')).toBe(0);
});
