"""What this site and its partners offer each other: terms, tables, the merge of them, sessions. No I/O, no clock."""
