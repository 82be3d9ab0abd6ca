//! How counters and sorting machines keep together: membership, spreading of editions and lists.
