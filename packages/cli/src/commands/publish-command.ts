import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { checkDeclarations } from '@laburnumshift/check-declarations';
import { publishConfig } from '@laburnumshift/publish-config';
import { findPathPosition } from '@laburnumshift/read-settings';
import { Command, Option } from 'clipanion';
import { callWithPlatform } from '../call-with-platform.js';
import { CliCommand } from '../cli-command.js';
import type { CommandResult } from '../command-result.js';
import { describePublish } from '../describe-publish.js';
import { OPTIONS } from '../options.js';
import { parseCount } from '../parse-count.js';
import { readAuthor } from '../read-author.js';

/** `publish`: publishes the declarations below a directory as a new generation. */
export class PublishCommand extends CliCommand {
  static override paths = [['publish']];
  static override usage = Command.Usage({
    description: 'Put the declarations below a directory into force.',
    details:
      'Files that are no longer in the directory are removed. With --base, a change that others made to the same ' +
      'files after that generation refuses the publish. With --node, waits until all nodes have the generation.',
    examples: [
      [
        'Publish and wait for the nodes',
        '$0 publish ./services --platform http://10.0.0.2:8600 --node http://10.0.0.5:8081',
      ],
      ['Publish only if nobody changed these files', '$0 publish ./services --base 41'],
    ],
  });

  directory = Option.String({ name: 'directory' });
  platform = OPTIONS.platform();
  node = OPTIONS.node();
  token = OPTIONS.token();
  author = OPTIONS.author();
  scope = OPTIONS.scope();
  wait = OPTIONS.wait();
  base = Option.String('--base', { description: 'Generation on which the files are based.' });

  async runCommand(): Promise<CommandResult> {
    const waitMs = parseCount('--wait', this.wait) * 1000;
    const baseGeneration = this.base === undefined ? undefined : parseCount('--base', this.base);
    const segments = await checkDeclarations(this.directory, this.scope === undefined);
    const result = await callWithPlatform(this.platform, (platform) =>
      publishConfig(platform, {
        segments,
        author: readAuthor(this.author),
        scope: this.scope,
        baseGeneration,
        findPosition: (file, path) =>
          findPathPosition(readFileSync(join(this.directory, file), 'utf8'), path),
      }),
    );
    return describePublish(result, { node: this.node, token: this.token, waitMs });
  }
}
