import http from 'node:http';
import https from 'node:https';
import { watchResponse } from '@laburnumshift/check-http';

/** Sends a request without a body and reads the JSON of its answer. Rejects when there is no whole answer or it is not JSON. */
export async function readJsonResponse(
  url: URL,
  options: Pick<http.RequestOptions, 'method' | 'headers' | 'signal'>,
): Promise<{ readonly status: number; readonly body: unknown }> {
  const response = await new Promise<http.IncomingMessage>((resolve, reject) => {
    const request = (url.protocol === 'https:' ? https : http).request(url, { ...options, agent: false });
    request.on('error', reject);
    watchResponse(request, resolve);
    request.end();
  });
  const chunks: Buffer[] = [];
  for await (const chunk of response as AsyncIterable<Buffer>) chunks.push(chunk);
  if (!response.complete) throw new Error('the answer broke off');
  return { status: response.statusCode ?? 0, body: JSON.parse(Buffer.concat(chunks).toString()) };
}
