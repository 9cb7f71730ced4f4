/* Key tables of the operators' text, and the checks that span keys. */
#ifndef TEXT_TABLE_H
#define TEXT_TABLE_H

#include "text.h"
#include "text_keys.h"

extern const struct key_table text_root_table;

/*
 * Checks the constraints between keys: unique names, references, cycles and
 * sums.  Computes each pool's availability if there are no errors.
 */
void text_check(struct key_reader *r, struct text *t);

#endif
