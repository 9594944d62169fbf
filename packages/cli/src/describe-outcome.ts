import { renderJson } from './render-json.js';

const TEXT_BY_KIND: Readonly<Record<string, string>> = {
  run: 'started by this node and not yet finished',
  'in-progress': 'started and in progress; ask again soon',
  unknown: 'may have run; it is not repeated. Ask the business application.',
  expired: 'the key is older than the journal keeps records; whether it ran is unknown',
  'body-differs': 'the key was used with another body',
  unavailable: 'the journal cannot be read now; ask again when the platform answers',
};

/**
 * Describes the state of a non-idempotent call. Shows the HTTP status of a stored answer but not its body, which is customer
 * data. An unknown state is rendered as JSON.
 */
export function describeOutcome(body: unknown): string {
  const { kind, answer, system, detail } = (body ?? {}) as Readonly<Record<string, unknown>>;
  if (kind === 'finished') {
    const { status } = (answer ?? {}) as { readonly status?: unknown };
    const by = system === 'older' ? 'by the older system' : 'by this system';
    return `finished: ran once, ${by}, and answered with status ${String(status)}. A resend gets this answer.`;
  }
  const text = typeof kind === 'string' && Object.hasOwn(TEXT_BY_KIND, kind) ? TEXT_BY_KIND[kind] : undefined;
  if (text === undefined) return renderJson(body);
  return `${String(kind)}: ${text}${typeof detail === 'string' ? ` (${detail})` : ''}`;
}
