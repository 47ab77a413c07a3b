/**
 * Digests of orders. Two texts are the same order when they hold the same document: the order of an object's fields and the
 * blanks between them say nothing, so a text that was written anew on its way is never taken for another (design 6.6).
 */
import { createHash } from 'node:crypto';
import stringify from 'safe-stable-stringify';

/** The digest of a document, whichever order its fields come in. */
function ofDocument(document: unknown): string {
  return createHash('sha256')
    .update(stringify(document) ?? '')
    .digest('base64url');
}

/** The digest of the document that a text holds; of the text itself where it is no JSON. */
function ofText(text: string): string {
  try {
    return ofDocument(JSON.parse(text));
  } catch {
    return createHash('sha256').update(text).digest('base64url');
  }
}

export const documentDigest = { ofDocument, ofText } as const;
