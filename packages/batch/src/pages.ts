/** Pagination of lists in the API. */
import type {ListObject} from './openai_objects.js';

/** Requested page of a list. */
export interface PageRequest {
  /** Id after which the page starts; absent for the first page. */
  after?: string;
  /** Maximum number of entries on the page. */
  limit: number;
}

/** Maximum number of entries on a page when the caller gives no limit. */
const DEFAULT_PAGE_ENTRIES = 20;

/** First page with the default limit. */
export const DEFAULT_PAGE: PageRequest = {limit: DEFAULT_PAGE_ENTRIES};

/**
 * Creates a page of a list.
 *
 * @param entries - entries of the page, plus one more if the list continues
 * @param limit - maximum number of entries on the page
 */
export function createPage<T extends {id: string}>(
  entries: T[],
  limit: number,
): ListObject<T> {
  const data = entries.slice(0, limit);
  return {
    object: 'list',
    data,
    first_id: data[0]?.id ?? null,
    last_id: data[data.length - 1]?.id ?? null,
    has_more: entries.length > limit,
  };
}
