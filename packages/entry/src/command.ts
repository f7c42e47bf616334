/** The command `marigoldfold-entry`, which runs one entry as a process. */
import {drainOnSignal, loadProcessSettings} from '@marigoldfold/coordination';
import {createLogger, systemClock, systemRandom} from '@marigoldfold/runtime';
import {Command, Flags} from '@oclif/core';
import {startEntry} from './entryProcess.js';
import {entrySettingsSchema} from './settings.js';

/** Runs an entry until it receives a stop signal, then drains it. */
export default class EntryCommand extends Command {
  static override readonly description = 'Runs the process that callers and operators connect to.';
  static override readonly examples = ['marigoldfold-entry --settings entry.toml'];
  static override readonly flags = {
    settings: Flags.string({description: 'settings file (TOML)', required: true}),
  };

  override async run(): Promise<void> {
    const {flags} = await this.parse(EntryCommand);
    const loaded = loadProcessSettings(entrySettingsSchema, flags.settings, process.env);
    if (loaded.isErr()) this.error(loaded.error, {exit: 2});
    const {settings, secrets} = loaded.value;
    const logger = createLogger({process: settings.process.name, level: settings.log.level});
    const entry = await startEntry({
      settings,
      secrets,
      clock: systemClock,
      random: systemRandom(),
      logger,
      includesNodeMetrics: true,
    });
    if (entry.isErr()) this.error(entry.error.message, {exit: 1});
    const {callers} = entry.value;
    await drainOnSignal(
      () => entry.value.drain(),
      logger,
      () => callers.activeCount(),
    );
    this.exit(0);
  }
}
