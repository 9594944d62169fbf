import { Command } from 'clipanion';
import { z } from 'zod';
import { CliCommand } from '../cli-command.js';
import type { CommandResult } from '../command-result.js';
import { OPTIONS } from '../options.js';
import { renderJson } from '../render-json.js';
import { runNodeCall } from '../run-node-call.js';
import { NODE_STATUS_SCHEMA } from '../status/node-status-schema.js';
import { renderStatus } from '../status/render-status.js';

const STATUS_SCHEMA = z.object({ nodes: z.array(NODE_STATUS_SCHEMA) });

const renderBody = (body: unknown): string => {
  const parsed = STATUS_SCHEMA.safeParse(body);
  return parsed.success ? renderStatus(parsed.data.nodes) : renderJson(body);
};

/** `status`: shows the state of all nodes as one node observes it. */
export class StatusCommand extends CliCommand {
  static override paths = [['status']];
  static override usage = Command.Usage({
    description: 'Show the state of all nodes, as one node sees it.',
    details:
      'Prints tables of nodes, cells, engines, stores, plain servers and leases, and names the nodes on which the newest ' +
      'generation is not in force.',
    examples: [
      ['Ask a node', '$0 status --node http://10.0.0.5:8081'],
      ['Ask for JSON', '$0 status --json --node http://10.0.0.5:8081'],
    ],
  });

  node = OPTIONS.node();
  token = OPTIONS.token();

  runCommand(): Promise<CommandResult> {
    return runNodeCall(renderBody, this.node, this.token, 'GET', '/status');
  }
}
