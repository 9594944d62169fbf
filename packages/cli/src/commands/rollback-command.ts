import { rollbackConfig } from '@laburnumshift/publish-config';
import { Command, Option } from 'clipanion';
import { callWithPlatform } from '../call-with-platform.js';
import { CliCommand } from '../cli-command.js';
import type { CommandResult } from '../command-result.js';
import { describePublish } from '../describe-publish.js';
import { OPTIONS } from '../options.js';
import { parseCount } from '../parse-count.js';
import { readAuthor } from '../read-author.js';

/** `rollback`: publishes the content of an earlier generation as a new generation. */
export class RollbackCommand extends CliCommand {
  static override paths = [['rollback']];
  static override usage = Command.Usage({
    description: 'Publish the content of an earlier generation under a new generation.',
    examples: [['Return to generation 41', '$0 rollback 41 --platform http://10.0.0.2:8600']],
  });

  generation = Option.String({ name: 'generation' });
  platform = OPTIONS.platform();
  node = OPTIONS.node();
  token = OPTIONS.token();
  author = OPTIONS.author();
  wait = OPTIONS.wait();

  async runCommand(): Promise<CommandResult> {
    const generation = parseCount('rollback', this.generation);
    const waitMs = parseCount('--wait', this.wait) * 1000;
    const result = await callWithPlatform(this.platform, (platform) =>
      rollbackConfig(platform, generation, readAuthor(this.author)),
    );
    return describePublish(result, { node: this.node, token: this.token, waitMs });
  }
}
