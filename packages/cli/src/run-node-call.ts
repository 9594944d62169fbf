import { askNode } from './ask-node.js';
import { buildUnavailable } from './build-unavailable.js';
import type { CommandResult } from './command-result.js';

const describeRefusal = (status: number, body: unknown): string => {
  if (status === 401)
    return 'the node wants the operator token. Type: --token TOKEN, or set LABURNUMSHIFT_TOKEN';
  const message = (body as { error?: { message?: unknown } } | null)?.error?.message;
  return typeof message === 'string' ? message : `the node answered with status ${String(status)}`;
};

/**
 * Calls an operator endpoint and turns the answer into the result of a command; 5xx counts as unavailable.
 *
 * @param render makes the text for people from the body of the answer
 */
export async function runNodeCall(
  render: (body: unknown) => string,
  ...call: Parameters<typeof askNode>
): Promise<CommandResult> {
  const answer = await askNode(...call);
  if (answer.kind === 'unreachable') return buildUnavailable('node', answer.detail);
  const { status, body } = answer;
  if (status < 300) return { result: 'ok', text: render(body), value: { answer: body } };
  const text = describeRefusal(status, body);
  return status >= 500
    ? buildUnavailable('node', text)
    : { result: 'refused', text, value: { status, message: text } };
}
