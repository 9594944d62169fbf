import { MESSAGE_SCHEMAS } from './message-schemas.js';

/**
 * Validates the body of a message. Returns `undefined` when it is valid, else the path and code of the first issue, without
 * any value of the body.
 */
export function checkBody(type: string, body: unknown): string | undefined {
  if (!Object.hasOwn(MESSAGE_SCHEMAS, type)) return 'no such message type';
  const parsed = MESSAGE_SCHEMAS[type as keyof typeof MESSAGE_SCHEMAS].safeParse(body);
  if (parsed.success) return undefined;
  const issue = parsed.error.issues[0];
  return `${issue?.path.slice(0, 4).map(String).join('.').slice(0, 100) ?? ''}: ${issue?.code ?? 'invalid'}`;
}
