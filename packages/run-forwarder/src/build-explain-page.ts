import type { ExplainResult } from '@laburnumshift/forward-calls';
import type { RequestHead } from '@laburnumshift/forward-types';
import { EXPLAIN_SCHEMA } from './explain-schema.js';
import type { QueryPages } from './query-pages.js';

const HOST_HEADER = 'Host';

/** Text of an answer that says in one sentence what is wrong with the request. */
const refuse = (error: string) => ({ status: 400, text: `${JSON.stringify({ error })}\n` });

const parseJson = (body: string): unknown => {
  try {
    return JSON.parse(body) as unknown;
  } catch {
    // Its message would have a part of the body, which may have a key.
    return undefined;
  }
};

/** Builds the page that explains where a call would go. The request is neither logged nor part of the answer. */
export function buildExplainPage(
  explain: (head: RequestHead, bodyBytes: number) => ExplainResult,
): QueryPages[string] {
  return (body) => {
    const value = parseJson(body);
    if (value === undefined) return refuse('the request is not JSON');
    const parsed = EXPLAIN_SCHEMA.safeParse(value);
    if (!parsed.success) {
      const [issue] = parsed.error.issues;
      return refuse(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'is not valid'}`);
    }
    const { method, target, hostName, headers, bodyBytes } = parsed.data;
    const fields = headers.filter(([name]) => name.toLowerCase() !== HOST_HEADER.toLowerCase());
    const result = explain({ method, target, headers: [HOST_HEADER, hostName, ...fields.flat()] }, bodyBytes);
    if (result.kind === 'invalid') return refuse(result.message);
    return { status: 200, text: `${JSON.stringify(result.explanation)}\n` };
  };
}
