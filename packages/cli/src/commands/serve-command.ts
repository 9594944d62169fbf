import { createLogger } from '@laburnumshift/logger';
import { readSettings } from '@laburnumshift/read-settings';
import { holdSignals, runDaemon, type HeldSignals } from '@laburnumshift/run-daemon';
import type { NodeSettings } from '@laburnumshift/types';
import { Command, Option } from 'clipanion';
import { CliCommand } from '../cli-command.js';
import type { CommandResult } from '../command-result.js';

/** The part of `@laburnumshift/run-node` that this command uses. */
interface NodeModule {
  readonly runNode?: (
    settings: NodeSettings,
    options: undefined,
    stopSignal: AbortSignal,
  ) => Promise<{
    readonly callersUrl: string;
    readonly operatorsUrl: string;
    readonly meshAddress: string;
    readonly stop: () => Promise<void>;
    readonly stopped: Promise<void>;
  }>;
}

/** `serve`: runs a node until SIGTERM or SIGINT, then shuts it down gracefully. */
export class ServeCommand extends CliCommand {
  static override paths = [['serve']];
  static override usage = Command.Usage({
    description: 'Run a node.',
    details: 'SIGTERM or SIGINT begins a graceful shutdown.',
    examples: [['Run a node', '$0 serve --settings /etc/laburnumshift/node.jsonc']],
  });

  settings = Option.String('--settings', {
    required: true,
    description: 'Settings file, JSON with comments',
  });

  /** Signals of the process, set before the command runs. */
  signals: HeldSignals | undefined;

  async runCommand(): Promise<CommandResult> {
    const signals = this.signals ?? holdSignals();
    const settings = await readSettings(this.settings);
    // Imported on demand, so that the other commands start without loading the node's code.
    const { runNode } = (await import('@laburnumshift/run-node')) as NodeModule;
    if (runNode === undefined) {
      return { result: 'unavailable', text: 'this build has no daemon', value: { detail: 'no daemon' } };
    }
    let addresses: Readonly<Record<string, string>> = {};
    await runDaemon({
      signals,
      logger: createLogger('node'),
      start: async (stopSignal) => {
        const node = await runNode(settings, undefined, stopSignal);
        const { callersUrl, operatorsUrl, meshAddress } = node;
        addresses = { callersUrl, operatorsUrl, meshAddress };
        this.context.stdout.write(`${JSON.stringify(addresses)}\n`);
        return node;
      },
    });
    return { result: 'ok', text: 'the node has stopped', value: addresses };
  }
}
