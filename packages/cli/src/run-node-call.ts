import { askNode } from './ask-node.js';
import { buildUnavailableResult } from './build-unavailable-result.js';
import type { CommandResult } from './command-result.js';

const describeRefusal = (status: number, body: unknown): string => {
  if (status === 401)
    return 'the node wants the operator token. Type: --token TOKEN, or set LABURNUMSHIFT_TOKEN';
  const message = (body as { error?: { message?: unknown } } | null)?.error?.message;
  return typeof message === 'string' ? message : `the node answered with status ${String(status)}`;
};

/**
 * Calls an operator endpoint and converts the response to a command result: a status below 300 is `ok`, 500 and above is
 * `unavailable`, and any other status is `refused`.
 *
 * @param render renders the response body as text
 */
export async function runNodeCall(
  render: (body: unknown) => string,
  ...call: Parameters<typeof askNode>
): Promise<CommandResult> {
  const answer = await askNode(...call);
  if (answer.kind === 'unreachable') return buildUnavailableResult('node', answer.detail);
  const { status, body } = answer;
  if (status < 300) return { result: 'ok', text: render(body), value: { answer: body } };
  const text = describeRefusal(status, body);
  return status >= 500
    ? buildUnavailableResult('node', text)
    : { result: 'refused', text, value: { status, message: text } };
}
