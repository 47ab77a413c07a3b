/** Pagination of listings. */
import type { HttpRequest } from '@stallstall/kernel';

/** `next` is the offset of the next page; it is absent on the last page. */
export type Page = Readonly<{ rows: readonly unknown[]; total: number; next?: number }>;

const defaultLimit = 100;
const maxLimit = 500;

function integerOr(text: string | undefined, fallback: number): number {
  return Math.floor(Number(text ?? fallback)) || fallback;
}

/** One page of rows: at most `limit` rows from offset `after`. Both are query parameters. */
export function pageOf(rows: readonly unknown[], request: HttpRequest): Page {
  const limit = Math.min(maxLimit, Math.max(1, integerOr(request.query['limit'], defaultLimit)));
  const after = Math.max(0, integerOr(request.query['after'], 0));
  const pageRows = rows.slice(after, after + limit);
  const end = after + pageRows.length;
  return { rows: pageRows, total: rows.length, ...(end < rows.length ? { next: end } : {}) };
}
