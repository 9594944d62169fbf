import { listAuditRecords } from '@laburnumshift/audit-changes';
import { Command } from 'clipanion';
import { buildUnavailableResult } from '../build-unavailable-result.js';
import { callWithPlatform } from '../call-with-platform.js';
import { CliCommand } from '../cli-command.js';
import type { CommandResult } from '../command-result.js';
import { OPTIONS } from '../options.js';
import { parseCount } from '../parse-count.js';
import { renderColumns } from '../render-columns.js';

/** Files shown per record; the others are only counted, so that a row fits a terminal line. `--json` lists all files. */
const MAX_FILES = 3;

const describeFiles = (files: readonly { readonly file: string; readonly change: string }[]): string => {
  const shown = files.slice(0, MAX_FILES).map(({ file, change }) => `${change} ${file}`);
  const hiddenCount = files.length - shown.length;
  return [...shown, ...(hiddenCount > 0 ? [`and ${String(hiddenCount)} more`] : [])].join(', ');
};

/** `audit`: lists accepted and refused configuration changes. */
export class AuditCommand extends CliCommand {
  static override paths = [['audit']];
  static override usage = Command.Usage({
    description: 'List accepted and refused changes, the newest first.',
    details: 'At most three files of a change are named; --json lists all.',
    examples: [['Show the last five', '$0 audit --limit 5 --platform http://10.0.0.2:8600']],
  });

  platform = OPTIONS.platform();
  limit = OPTIONS.limit();

  async runCommand(): Promise<CommandResult> {
    const limit = parseCount('--limit', this.limit);
    const records = await callWithPlatform(this.platform, (platform) => listAuditRecords(platform, limit));
    if (records === undefined) return buildUnavailableResult('platform', 'the audit trail cannot be read');
    const rows = records.map(
      ({ atMs, author, action, result, fromGeneration, toGeneration, files, detail }) => [
        new Date(atMs).toISOString(),
        author,
        action,
        result,
        `${String(fromGeneration)} -> ${toGeneration === undefined ? '-' : String(toGeneration)}`,
        describeFiles(files),
        detail,
      ],
    );
    const heading = ['TIME', 'AUTHOR', 'ACTION', 'RESULT', 'GENERATION', 'FILES', 'DETAIL'];
    const text = rows.length === 0 ? 'nothing was changed yet' : renderColumns([heading, ...rows]).join('\n');
    return { result: 'ok', text, value: { records } };
  }
}
