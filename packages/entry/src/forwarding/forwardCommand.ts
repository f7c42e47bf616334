/** The command `marigoldfold-forward`, which runs one forwarding router as a process. */
import {readFileSync} from 'node:fs';
import {
  BoundedOutput,
  createLogger,
  formatProblem,
  limitHeapGrowth,
  parseSettings,
  processSignals,
  steadyClock,
  systemClock,
  systemRandom,
  createDescriptorWriter,
} from '@marigoldfold/runtime';
import {createEtcdKeyValue} from '@marigoldfold/state';
import {createHttpClient} from '@marigoldfold/transport';
import {Command, Flags} from '@oclif/core';
import {err, ok, type Result} from 'neverthrow';
import {ForwardProcess} from './forwardProcess.js';
import type {ForwardBounds} from './forwardSource.js';
import {type ForwardSettings, forwardSettingsSchema} from './forwardSettings.js';
import {standaloneCodec, standaloneSource} from './standaloneDefaults.js';

const STANDARD_OUTPUT = 1;
/** Log rate limit: enough for three lines per request at some hundred requests per second. */
const LOG_BYTES_PER_SECOND = 65_536;
/** Timeout of a call to the key-value service. */
const STORE_TIMEOUT_MS = 1000;

/** Runs a forwarding router until SIGTERM; SIGHUP reloads the bounds from the settings file. */
export default class ForwardCommand extends Command {
  static override readonly description =
    'Forwards requests to endpoints by host and path, according to the configuration in the key-value service.';
  static override readonly examples = ['marigoldfold-forward --settings forward.toml'];
  static override readonly flags = {
    settings: Flags.string({description: 'settings file (TOML)', required: true}),
  };

  override async run(): Promise<void> {
    const {flags} = await this.parse(ForwardCommand);
    const loaded = readForwardSettings(flags.settings);
    if (loaded.isErr()) this.error(loaded.error, {exit: 2});
    const {name, log, keyValue, bounds, ...settings} = loaded.value;
    limitHeapGrowth(settings.processLimits.memoryBytes);
    const output = new BoundedOutput({
      clock: steadyClock,
      write: createDescriptorWriter(STANDARD_OUTPUT),
      bytesPerSecond: LOG_BYTES_PER_SECOND,
    });
    const logger = createLogger({
      process: name,
      level: log.level,
      write: (line, level) => {
        output.write(line, level);
      },
    });
    const store = createEtcdKeyValue({
      client: createHttpClient(),
      address: keyValue,
      timeoutMs: STORE_TIMEOUT_MS,
    });
    const router = new ForwardProcess({
      clock: steadyClock,
      wallTimeMs: () => systemClock.now(),
      random: systemRandom(),
      logger,
      codec: standaloneCodec,
      source: {store, ...standaloneSource},
      name,
      clientAddress: settings.listen,
      readyAddress: settings.readyListen,
      metricsAddress: settings.metricsListen,
      peerAddress: settings.peerListen,
      readyPath: '/ready',
      metricsPath: '/metrics',
      bounds: toBounds(bounds),
      processLimits: settings.processLimits,
      pacesEndpoints: settings.paceEndpoints,
    });
    const reload = () => {
      readForwardSettings(flags.settings).match(
        (reloaded) => {
          router.reload(toBounds(reloaded.bounds));
          logger.info('settings reloaded', {path: flags.settings});
        },
        (problems) => {
          logger.error('settings not reloaded', {path: flags.settings, problems});
        },
      );
    };
    const stopped = new Promise<void>((resolve) => {
      processSignals.handle({
        onReload: reload,
        onStop: () => {
          logger.info('stopping', {signal: 'SIGTERM'});
          void router.stop().then(resolve);
        },
      });
    });
    if (!processSignals.isStopRequested && (await router.start()))
      logger.info('started', {name, clientAddress: settings.listen, store: keyValue});
    await stopped;
    logger.info('stopped');
    await output.flush();
    this.exit(0);
  }
}

/** Reads a settings file; the error lists each problem on its own line. */
export function readForwardSettings(file: string): Result<ForwardSettings, string> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch {
    return err(`${file} cannot be read`);
  }
  const settings = parseSettings(forwardSettingsSchema, text);
  if (settings.isOk()) return ok(settings.value);
  const lines = settings.error.map((problem) => `  ${formatProblem(problem)}`);
  return err([`${file} has ${lines.length} problem(s):`, ...lines].join('\n'));
}

function toBounds(bounds: ForwardSettings['bounds']): ForwardBounds {
  const {revocationMs, configurationMs, stopMs, repeatRatio, repeatWindowMs, repeatSlack} = bounds;
  const retryBudget = {ratio: repeatRatio, windowMs: repeatWindowMs, slack: repeatSlack};
  return {revocationMs, configurationMs, stopMs, retryBudget};
}
