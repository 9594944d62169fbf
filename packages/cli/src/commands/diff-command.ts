import { checkDeclarations } from '@laburnumshift/check-declarations';
import { diffConfig } from '@laburnumshift/publish-config';
import { Command, Option } from 'clipanion';
import { buildUnavailableResult } from '../build-unavailable-result.js';
import { callWithPlatform } from '../call-with-platform.js';
import { CliCommand } from '../cli-command.js';
import type { CommandResult } from '../command-result.js';
import { OPTIONS } from '../options.js';

/** `diff`: shows the changes that a publish would make. */
export class DiffCommand extends CliCommand {
  static override paths = [['diff']];
  static override usage = Command.Usage({
    description: 'Show what a publish would change.',
    examples: [['Compare with what is in force', '$0 diff ./services --platform http://10.0.0.2:8600']],
  });

  directory = Option.String({ name: 'directory' });
  platform = OPTIONS.platform();
  scope = OPTIONS.scope();

  async runCommand(): Promise<CommandResult> {
    const segments = await checkDeclarations(this.directory, this.scope === undefined);
    const diff = await callWithPlatform(this.platform, (platform) =>
      diffConfig(platform, segments, this.scope),
    );
    if (diff.kind === 'unavailable') return buildUnavailableResult('platform', diff.detail);
    const { generation, changes } = diff;
    const lines = changes.flatMap(({ file, change, paths }) => [
      `${change} ${file}`,
      ...paths.map((path) => `  ${path}`),
    ]);
    const text = lines.length === 0 ? `no change to generation ${String(generation)}` : lines.join('\n');
    return { result: 'ok', text, value: { generation, changes } };
  }
}
