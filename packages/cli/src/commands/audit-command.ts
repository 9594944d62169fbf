import { listChanges } from '@laburnumshift/audit-changes';
import { Command } from 'clipanion';
import { buildUnavailable } from '../build-unavailable.js';
import { callWithPlatform } from '../call-with-platform.js';
import { CliCommand } from '../cli-command.js';
import type { CommandResult } from '../command-result.js';
import { OPTIONS } from '../options.js';
import { parseCount } from '../parse-count.js';

/** `audit`: lists accepted and refused changes. */
export class AuditCommand extends CliCommand {
  static override paths = [['audit']];
  static override usage = Command.Usage({
    description: 'List accepted and refused changes, the newest first.',
    examples: [['Show the last five', '$0 audit --limit 5 --platform http://10.0.0.2:8600']],
  });

  platform = OPTIONS.platform();
  limit = OPTIONS.limit();

  async runCommand(): Promise<CommandResult> {
    const limit = parseCount('--limit', this.limit);
    const records = await callWithPlatform(this.platform, (platform) => listChanges(platform, limit));
    if (records === undefined) return buildUnavailable('platform', 'the audit trail cannot be read');
    const lines = records.map(({ atMs, author, action, result, toGeneration, files, detail }) =>
      [
        new Date(atMs).toISOString(),
        author,
        action,
        result,
        toGeneration === undefined ? '-' : String(toGeneration),
        files.map(({ file, change }) => `${change} ${file}`).join(', '),
        detail,
      ].join('  '),
    );
    return { result: 'ok', text: lines.join('\n') || 'nothing was changed yet', value: { records } };
  }
}
