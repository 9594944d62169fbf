import { listHistory } from '@laburnumshift/publish-config';
import { Command } from 'clipanion';
import { buildUnavailableResult } from '../build-unavailable-result.js';
import { callWithPlatform } from '../call-with-platform.js';
import { CliCommand } from '../cli-command.js';
import type { CommandResult } from '../command-result.js';
import { OPTIONS } from '../options.js';
import { parseCount } from '../parse-count.js';
import { renderColumns } from '../render-columns.js';

/** `history`: lists published generations. */
export class HistoryCommand extends CliCommand {
  static override paths = [['history']];
  static override usage = Command.Usage({
    description: 'List the generations, the newest first.',
    examples: [['Show the last five', '$0 history --limit 5 --platform http://10.0.0.2:8600']],
  });

  platform = OPTIONS.platform();
  limit = OPTIONS.limit();

  async runCommand(): Promise<CommandResult> {
    const limit = parseCount('--limit', this.limit);
    const heads = await callWithPlatform(this.platform, (platform) => listHistory(platform, limit));
    if (heads === undefined) return buildUnavailableResult('platform', 'the history cannot be read');
    const rows = heads.map(({ generation, publishedAtMs, author, changeId, segments }) => [
      String(generation),
      new Date(publishedAtMs).toISOString(),
      author,
      String(Object.keys(segments).length),
      changeId,
    ]);
    const lines = renderColumns([['GENERATION', 'PUBLISHED', 'AUTHOR', 'FILES', 'CHANGE'], ...rows]);
    const text = rows.length === 0 ? 'nothing was published yet' : lines.join('\n');
    return { result: 'ok', text, value: { heads } };
  }
}
