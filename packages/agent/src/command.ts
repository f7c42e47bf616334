/** The `marigoldfold-agent` command. */
import {drainOnSignal, loadProcessSettings} from '@marigoldfold/coordination';
import {createLogger, systemClock} from '@marigoldfold/runtime';
import {Command, Flags} from '@oclif/core';
import {startAgent} from './agentProcess.js';
import {agentSettingsSchema} from './settings.js';

/** Runs an agent until a signal starts its drain. */
export default class AgentCommand extends Command {
  static override readonly description = 'Runs the agent process of an endpoint.';
  static override readonly examples = ['marigoldfold-agent --settings agent.toml'];
  static override readonly flags = {
    settings: Flags.string({description: 'settings file (TOML)', required: true}),
  };

  override async run(): Promise<void> {
    const {flags} = await this.parse(AgentCommand);
    const loaded = loadProcessSettings(agentSettingsSchema, flags.settings, process.env);
    if (loaded.isErr()) this.error(loaded.error, {exit: 2});
    const {settings, secrets} = loaded.value;
    const logger = createLogger({process: settings.process.name, level: settings.log.level});
    const agent = await startAgent({
      settings,
      secrets,
      clock: systemClock,
      logger,
      includesNodeMetrics: true,
    });
    if (agent.isErr()) this.error(agent.error.message, {exit: 1});
    const {worker} = agent.value;
    await drainOnSignal(
      () => agent.value.drain(),
      logger,
      () => worker.activeCount,
    );
    this.exit(0);
  }
}
