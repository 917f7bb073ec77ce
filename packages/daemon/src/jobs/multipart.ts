/** Reads file uploads (multipart forms) as a stream. */
import {ErrorCode} from '@savoryspur/common';
import busboy from 'busboy';
import {err, ok, type Result} from 'neverthrow';
import type {IncomingMessage} from 'node:http';
import type {Readable} from 'node:stream';
import type {Refusal} from '../http/refusal.js';

/** An upload whose content has not been read yet. */
export interface MultipartUpload {
  filename: string;
  content: Readable;
  /**
   * Gets a field of the form. Fields that follow the file in the form are known
   * only after the content was read.
   */
  getField(name: string): string | undefined;
}

/** Largest size of a form field other than the file, bytes. */
const MAX_FIELD_BYTES = 64 * 1024;

/** Maximum number of fields of one form. */
const MAX_FIELDS = 32;

/**
 * Reads a form up to the start of its file.
 *
 * @param message - the request
 * @param fileField - name of the field with the file
 * @returns the upload, or a refusal when the form is malformed or has no file
 */
export async function readUpload(
  message: IncomingMessage,
  fileField: string,
): Promise<Result<MultipartUpload, Refusal>> {
  const parser = createParser(message);
  if (!parser) {
    return err(refuseForm('content-type', 'a multipart form'));
  }
  const fields = new Map<string, string>();
  parser.on('field', (name, value) => fields.set(name, value));
  return new Promise((resolve) => {
    parser.on('file', (name, content, info) => {
      if (name !== fileField) {
        content.resume();
        return;
      }
      const filename = info.filename || 'file';
      resolve(ok({filename, content, getField: (key) => fields.get(key)}));
    });
    parser.once('close', () =>
      resolve(err(refuseForm(fileField, 'a file in this field'))),
    );
    parser.once('error', (error: Error) =>
      resolve(
        err(refuseForm('body', `a complete multipart form (${error.message})`)),
      ),
    );
    message.once('error', () => parser.destroy());
    message.pipe(parser);
  });
}

function createParser(message: IncomingMessage): busboy.Busboy | undefined {
  try {
    return busboy({
      headers: message.headers,
      limits: {
        fieldSize: MAX_FIELD_BYTES,
        fields: MAX_FIELDS,
        files: 1,
        fileSize: Infinity,
      },
    });
  } catch (thrown) {
    return undefined;
  }
}

function refuseForm(field: string, expected: string): Refusal {
  return {
    code: ErrorCode.INVALID_INPUT,
    field,
    message: `${field}: found no valid value, expected ${expected}`,
  };
}
