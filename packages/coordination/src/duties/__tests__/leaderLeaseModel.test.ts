import {VirtualClock} from '@marigoldfold/runtime';
import {MemoryKeyValue} from '@marigoldfold/standin';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {LEASE_MS, LeaseMachine} from '../../__fixtures__/leaseMachines.js';

const names = ['a', 'b', 'c'];
const TICK_MS = 50;
/** Lapse of a lease, a further lease duration in which an instance yields, and the wait before the first call. */
const RECOVERY_MS = 4 * LEASE_MS;

/** A machine by its index, or the one that holds the lease. */
const target = fc.constantFrom<number | 'holder'>('holder', 'holder', 0, 1, 2);
const faultOf = <K extends string>(kinds: readonly K[], maxMs: number) =>
  fc.record({kind: fc.constantFrom(...kinds), target, ms: fc.integer({min: 0, max: maxMs})});
const fault = fc.oneof(
  faultOf(['stopped', 'suspended', 'cut'], 12_000),
  faultOf(['late', 'unanswered', 'slow'], 6000),
  faultOf(['planned', 'killed', 'fenced'], 0),
  faultOf(['copy', 'restore'], 0),
);
type Fault = typeof fault extends fc.Arbitrary<infer T> ? T : never;
const steps = fc.array(fc.tuple(fc.integer({min: 0, max: 4000}), fault), {
  minLength: 4,
  maxLength: 16,
});

interface Act {
  readonly machine: LeaseMachine;
  readonly token: number;
  readonly atMs: number;
}

/** Rules that an act breaks after earlier ones. */
function findBrokenRules(acts: readonly Act[], act: Act): readonly string[] {
  const rules: string[] = [];
  const {machine, token, atMs} = act;
  if (acts.some((other) => other.machine !== machine && other.token === token))
    rules.push('two holders with one token');
  const last = acts.at(-1);
  if (last !== undefined && last.token > token) rules.push('a lower token after a higher one');
  const between = acts.findLastIndex((other) => other.machine !== machine);
  const before = acts.slice(0, Math.max(0, between)).findLast((other) => other.machine === machine);
  if (before !== undefined && atMs - before.atMs <= LEASE_MS) rules.push('A, B, A within a lease');
  return rules;
}

/** A store, machines that act whenever they may, and the record of their acts. */
class Trial implements Disposable {
  readonly #clock = new VirtualClock(1_000_000);
  readonly #memory = new MemoryKeyValue(this.#clock);
  readonly #machines = names.map(
    (name) => new LeaseMachine(this.#clock, this.#memory, name, names),
  );
  readonly #acts: Act[] = [];
  readonly broken = new Set<string>();
  #copy = this.#memory.copy();

  constructor() {
    for (const machine of this.#machines) {
      machine.onResumed = () => {
        this.#act(machine);
      };
    }
  }

  /** Machines that may act now. */
  get actors(): readonly LeaseMachine[] {
    return this.#machines.filter(({hold}) => hold?.mayAct === true);
  }

  async run(durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += TICK_MS) {
      await this.#clock.advance(TICK_MS);
      for (const machine of this.#machines) this.#act(machine);
      if (this.actors.length > 1) this.broken.add('two act at once');
    }
  }

  apply({kind, target: chosen, ms}: Fault): void {
    const holder = this.#machines.find(({hold}) => hold !== undefined) ?? this.#machines[0];
    const machine = chosen === 'holder' ? holder : this.#machines[chosen];
    if (machine === undefined) return;
    if (kind === 'copy') this.#copy = this.#memory.copy();
    else if (kind === 'restore') this.#memory.restore(this.#copy);
    else if (kind === 'stopped' || kind === 'suspended') machine.pause(kind, ms);
    else if (kind === 'late') machine.store.failWrites({lateByMs: ms});
    else if (kind === 'unanswered') machine.store.failWrites('answer-lost');
    else if (kind === 'slow') this.#setFor(ms, machine, 'responseMs', Math.ceil(ms / 3), 0);
    else if (kind === 'cut') this.#setFor(ms, machine.store, 'isDown', true, false);
    else if (machine.isPaused) return;
    else if (kind === 'fenced') machine.lease.loseByFence(machine.hold?.token ?? 0);
    else machine.restart(kind);
  }

  [Symbol.dispose](): void {
    for (const machine of this.#machines) machine[Symbol.dispose]();
  }

  /** Sets a property for a time. */
  #setFor<K extends string, V>(ms: number, object: Record<K, V>, key: K, value: V, after: V): void {
    object[key] = value;
    this.#clock.schedule(ms, () => {
      object[key] = after;
    });
  }

  #act(machine: LeaseMachine): void {
    const {hold} = machine;
    if (hold?.mayAct !== true) return;
    const act = {machine, token: hold.token, atMs: this.#clock.now()};
    for (const rule of findBrokenRules(this.#acts, act)) this.broken.add(rule);
    this.#acts.push(act);
  }
}

// Guards against two instances that believe to hold the duties, and against a fleet in which none does.
test('tokens rise, holders do not alternate within a lease, and one acts after the faults', async () => {
  await fc.assert(
    fc.asyncProperty(steps, async (plan) => {
      using trial = new Trial();
      await trial.run(2 * LEASE_MS + 500);
      for (const [gapMs, step] of plan) {
        trial.apply(step);
        await trial.run(gapMs);
      }
      // The longest pause or cut ends in this time.
      await trial.run(12_000 + RECOVERY_MS);
      expect([...trial.broken]).toEqual([]);
      expect(trial.actors.map(({name}) => name)).toHaveLength(1);
    }),
    {seed: 5, numRuns: 200},
  );
}, 120_000);
