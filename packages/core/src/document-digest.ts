/**
 * Digests of configuration documents. Texts that differ only in the order of an object's fields or in white space have the same
 * digest, so that a document that was re-serialized on its way is not mistaken for a different one (design 6.6).
 */
import { createHash } from 'node:crypto';
import stringify from 'safe-stable-stringify';

/** The digest of a document, independent of the order of its fields. */
function ofDocument(document: unknown): string {
  return createHash('sha256')
    .update(stringify(document) ?? '')
    .digest('base64url');
}

/** The digest of the JSON document in a text, or of the text itself if it is not JSON. */
function ofText(text: string): string {
  try {
    return ofDocument(JSON.parse(text));
  } catch {
    return createHash('sha256').update(text).digest('base64url');
  }
}

export const documentDigest = { ofDocument, ofText } as const;
