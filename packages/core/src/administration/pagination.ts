/** Pages of listings. */
import type { HttpRequest } from '@stallstall/kernel';

/** `next` is where the following page begins; it is missing on the last. */
export type Page = Readonly<{ rows: readonly unknown[]; total: number; next?: number }>;

const defaultRows = 100;
const mostRows = 500;

function wholeNumberOf(text: string | undefined, otherwise: number): number {
  return Math.floor(Number(text ?? otherwise)) || otherwise;
}

/** One page: `limit` rows after the row whose place is `after`, both named in the query. */
export function pageOf(rows: readonly unknown[], request: HttpRequest): Page {
  const limit = Math.min(mostRows, Math.max(1, wholeNumberOf(request.query['limit'], defaultRows)));
  const after = Math.max(0, wholeNumberOf(request.query['after'], 0));
  const shown = rows.slice(after, after + limit);
  const end = after + shown.length;
  return { rows: shown, total: rows.length, ...(end < rows.length ? { next: end } : {}) };
}
